/** What the stand-ins for engines and for plain services share: a server that can crash. */
package org.marjoramsail.standin.server;
