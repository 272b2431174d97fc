package org.marjoramsail.daemon.operator;

import io.vertx.core.Future;
import org.marjoramsail.language.ResultTable;

/** Asks all daemons. */
@FunctionalInterface
public interface FleetQueries {

  /** Gathers the answers of all daemons that answer in time and names the others; never fails. */
  Future<ResultTable> ask(OperatorQueryMessage question);
}
