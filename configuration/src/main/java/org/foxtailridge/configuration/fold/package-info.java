/**
 * The fold of the stream {@code configuration}: which edits are in force, alike on every node.
 *
 * <p>{@link org.foxtailridge.configuration.fold.ConfigurationFold} is the entry class.
 */
package org.foxtailridge.configuration.fold;
