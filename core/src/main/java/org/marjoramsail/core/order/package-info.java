/** Orders to engines: who may send them, which come next, and when not to. */
package org.marjoramsail.core.order;
