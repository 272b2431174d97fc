package org.marjoramsail.core.configuration;

import java.util.List;
import java.util.Optional;

/**
 * The one object whose conditional update accepts a change.
 *
 * @param configuration the newest revision
 * @param recentOrders the latest accepted changes, oldest first, bounded in number
 */
public record ConfigurationRoot(Configuration configuration, List<OrderRecord> recentOrders) {

  /** Copies the list, so that the value cannot change. */
  public ConfigurationRoot {
    recentOrders = List.copyOf(recentOrders);
  }

  /** The root before any change. */
  public static ConfigurationRoot empty() {
    return new ConfigurationRoot(Configuration.empty(), List.of());
  }

  /** The accepted change of that name, while it is remembered. */
  public Optional<OrderRecord> order(OrderId order) {
    return recentOrders.stream().filter(entry -> entry.order().equals(order)).findFirst();
  }
}
