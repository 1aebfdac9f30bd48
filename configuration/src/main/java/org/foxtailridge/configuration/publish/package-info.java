/**
 * Publication of edits and snapshots.
 *
 * <p>{@link org.foxtailridge.configuration.publish.EditPublication} follows one edit from its
 * append to its outcome; {@link org.foxtailridge.configuration.publish.SnapshotSchedule} says when
 * a snapshot is due.
 */
package org.foxtailridge.configuration.publish;
