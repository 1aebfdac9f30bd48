/** Stand-in of a plain service with idempotent lookups and counted bookings. */
package org.foxtailridge.standins.service;
