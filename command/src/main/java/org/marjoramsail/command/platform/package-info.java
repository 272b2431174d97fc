/** Daemons before stand-ins of the users' platform, with callers that check every answer. */
package org.marjoramsail.command.platform;
