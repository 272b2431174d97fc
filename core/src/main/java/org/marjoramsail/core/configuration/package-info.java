/** Configuration by operators: immutable revisions, changes to them and their distribution. */
package org.marjoramsail.core.configuration;
