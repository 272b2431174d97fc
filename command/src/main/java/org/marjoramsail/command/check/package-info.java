/** Reading, checking and comparing configurations that are not in force. */
package org.marjoramsail.command.check;
