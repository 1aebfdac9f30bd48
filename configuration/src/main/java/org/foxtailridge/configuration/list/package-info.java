/**
 * The operators' lists as a TOML file: reading, writing, and the edit that leads to a file's state.
 *
 * <p>{@link org.foxtailridge.configuration.list.ConfigurationList} is the entry class.
 */
package org.foxtailridge.configuration.list;
