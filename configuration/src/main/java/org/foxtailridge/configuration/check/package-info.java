/**
 * Checks of a whole configuration, used before publication and in the fold.
 *
 * <p>{@link org.foxtailridge.configuration.check.ConfigurationChecks} is the entry class. The
 * checks belong to the format of the records: nodes that fold the same records must come to the
 * same verdict, so a check is added or changed only together with a new record format.
 */
package org.foxtailridge.configuration.check;
