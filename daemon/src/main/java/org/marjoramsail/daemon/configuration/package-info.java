/**
 * The configuration in the platform's store: acceptance of changes, and their way to each daemon.
 */
package org.marjoramsail.daemon.configuration;
