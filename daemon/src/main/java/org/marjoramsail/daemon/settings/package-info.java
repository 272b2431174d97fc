/** The daemon's settings: one JSON file, checked whole before anything starts. */
package org.marjoramsail.daemon.settings;
