/** Identifiers and enums that all parts of the core share. */
package org.marjoramsail.core.model;
