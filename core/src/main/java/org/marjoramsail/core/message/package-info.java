/** What daemons say to each other, as types; the daemon module gives each its bytes. */
package org.marjoramsail.core.message;
