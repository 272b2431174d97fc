package org.marjoramsail.daemon.forward;

import java.util.function.Consumer;
import org.marjoramsail.core.stream.StreamKey;
import org.marjoramsail.core.stream.StreamKnowledge;
import org.marjoramsail.core.stream.StreamRecord;

/** Origins of streams that outlive the daemons. */
public interface StreamArchive {

  /** Keeps nothing. */
  StreamArchive NONE =
      new StreamArchive() {
        @Override
        public void add(StreamRecord stream) {}

        @Override
        public void find(StreamKey key, Consumer<StreamKnowledge> listener) {
          listener.accept(StreamKnowledge.NONE);
        }
      };

  /** Records a stream that this daemon has begun; it is kept soon afterwards, or not at all. */
  void add(StreamRecord stream);

  /**
   * Finds the origin of a stream that any daemon has begun. The listener is called once, on the
   * event loop of the caller.
   */
  void find(StreamKey key, Consumer<StreamKnowledge> listener);
}
