/** Adapters on endpoints: loaded when they are wanted, the least recently wanted removed first. */
package org.foxtailridge.placement.adapter;
