/** The shell around each request's lifecycle: carries out its actions, brings it events. */
package org.marjoramsail.daemon.request;
