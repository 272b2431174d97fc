/** A stand-in for the platform: its object API, its lagging host list and its weight store. */
package org.marjoramsail.standin.platform;
