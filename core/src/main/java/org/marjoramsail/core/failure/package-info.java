/** Every way in which a request or an operation can fail, as types. */
package org.marjoramsail.core.failure;
