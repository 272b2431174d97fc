package org.marjoramsail.daemon.order;

import java.util.Optional;
import org.marjoramsail.core.order.OperatorOrder;

/**
 * The content of an object that holds an operator's order.
 *
 * @param order what was ordered
 * @param orderedBy the operator
 */
public record OperatorOrderDocument(OperatorOrder order, Optional<String> orderedBy) {}
