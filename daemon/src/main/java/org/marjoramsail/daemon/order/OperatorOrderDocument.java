package org.marjoramsail.daemon.order;

import org.marjoramsail.core.order.OperatorOrder;

/**
 * The content of an object that holds an operator's order.
 *
 * @param order what was ordered
 */
public record OperatorOrderDocument(OperatorOrder order) {}
