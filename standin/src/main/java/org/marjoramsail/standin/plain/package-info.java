/** Stand-in for a plain service that counts how often each request ran. */
package org.marjoramsail.standin.plain;
