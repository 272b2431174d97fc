package org.marjoramsail.daemon.settings;

/**
 * A number of the settings that was replaced by one in its range.
 *
 * @param path where it stands, as a JSON pointer
 * @param given what stands there, as JSON; null where nothing does
 * @param used the number that is used instead
 */
record SettingsAdjustment(String path, String given, double used) {}
