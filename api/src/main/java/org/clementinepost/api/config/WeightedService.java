package org.clementinepost.api.config;

import org.clementinepost.api.ServiceId;

/**
 * A service that gets a share of the requests of a route.
 *
 * @param service the service
 * @param weight its share, relative to the weights of the route's other services
 */
public record WeightedService(ServiceId service, int weight) {}
