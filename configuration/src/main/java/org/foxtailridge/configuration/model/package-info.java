/** What operators list: plans, client accounts, models, adapters, endpoints, services and keys. */
package org.foxtailridge.configuration.model;
