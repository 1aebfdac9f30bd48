/** Entry of placement: which models, adapters and versions are resident on which endpoint. */
package org.foxtailridge.placement;
