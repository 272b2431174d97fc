/** What operators configure: one revision is one immutable value. */
package org.marjoramsail.core.configuration;
