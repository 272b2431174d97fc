package org.marjoramsail.core.configuration;

import java.util.List;
import java.util.Optional;

/**
 * Stored object with the newest configuration; a change is accepted by a conditional update of it.
 *
 * @param configuration the newest revision
 * @param recentOrders records of the latest accepted changes, oldest first; limited in number
 */
public record ConfigurationRoot(Configuration configuration, List<OrderRecord> recentOrders) {

  /** Copies the list to make the record immutable. */
  public ConfigurationRoot {
    recentOrders = List.copyOf(recentOrders);
  }

  /** Returns the root before any change. */
  public static ConfigurationRoot empty() {
    return new ConfigurationRoot(Configuration.empty(), List.of());
  }

  /** Returns the record of an accepted change, if it is still among the recent ones. */
  public Optional<OrderRecord> order(OrderId order) {
    return recentOrders.stream().filter(entry -> entry.order().equals(order)).findFirst();
  }
}
