/**
 * Records of the log stream {@code configuration} and their JSON form.
 *
 * <p>{@link org.foxtailridge.configuration.record.RecordCodec} is the entry class.
 */
package org.foxtailridge.configuration.record;
