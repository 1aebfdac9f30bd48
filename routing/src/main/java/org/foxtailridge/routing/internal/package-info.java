/** State that routers share: listed endpoints, what is resident on them and attempts in flight. */
package org.foxtailridge.routing.internal;
