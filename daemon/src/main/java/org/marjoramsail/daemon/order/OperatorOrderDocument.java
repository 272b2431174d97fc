package org.marjoramsail.daemon.order;

import java.util.Optional;
import org.marjoramsail.core.order.OperatorOrder;

/**
 * Content of a stored object that holds an operator's order.
 *
 * @param order the order
 * @param orderedBy name of the operator who gave the order
 */
public record OperatorOrderDocument(OperatorOrder order, Optional<String> orderedBy) {}
