package org.marjoramsail.core.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Updates to disseminate, the least often sent first, so that a burst starves none of them. */
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

  /** Queues an update; it replaces an earlier update of the same host. */
  void add(MemberUpdate update) {
    items.put(update.host(), new Item(update));
  }

  /**
   * Returns the updates for one message and removes those that were sent often enough.
   *
   * @param required updates to send in any case, in addition to the limit and without counting
   * @param maximumBytes maximum size of the other updates, in bytes
   * @param maximumTransmissions number of messages that each update is sent in
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
