/** Tables and plots that set placement policies side by side. */
package org.marjoramsail.command.bench;
