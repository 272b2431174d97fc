package org.marjoramsail.core.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * News that still have to be told, the least told required, so that a burst starves none of them.
 */
final class Dissemination {

  private static final class Item {
    private final MemberUpdate update;
    private int transmissions;

    Item(MemberUpdate update) {
      this.update = update;
    }

    int transmissions() {
      return transmissions;
    }
  }

  private final Map<String, Item> items = new HashMap<>();

  /** Queues news; older news of the same host are not told any more. */
  void add(MemberUpdate update) {
    items.put(update.host(), new Item(update));
  }

  /**
   * Removes and returns the news for one message.
   *
   * @param first what the receiver must hear in any case, beyond the bound and uncounted
   * @param maximumBytes an upper bound for the rest, in bytes
   * @param maximumTransmissions how often each is told in all
   */
  List<MemberUpdate> take(List<MemberUpdate> required, int maximumBytes, int maximumTransmissions) {
    List<MemberUpdate> taken = new ArrayList<>(required);
    if (items.isEmpty()) {
      return taken;
    }
    List<Item> ordered = new ArrayList<>(items.values());
    ordered.sort(
        Comparator.comparingInt(Item::transmissions).thenComparing(item -> item.update.host()));
    int bytes = 0;
    for (Item item : ordered) {
      bytes += item.update.estimatedBytes();
      if (bytes > maximumBytes) {
        break;
      }
      taken.add(item.update);
      item.transmissions++;
      if (item.transmissions >= maximumTransmissions) {
        items.remove(item.update.host());
      }
    }
    return taken;
  }
}
