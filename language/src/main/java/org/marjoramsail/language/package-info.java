/** The operators' language: statements as types, parsing, suggestions, completion, rendering. */
package org.marjoramsail.language;
