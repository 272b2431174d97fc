/** The interface for operators: questions to the whole fleet, orders, metrics and health. */
package org.marjoramsail.daemon.operator;
