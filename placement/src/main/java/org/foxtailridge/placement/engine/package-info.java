/** What engines hold in accelerator memory and what they report about it. */
package org.foxtailridge.placement.engine;
