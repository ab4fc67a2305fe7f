package org.clementinepost.policy.routing;

import org.clementinepost.api.Endpoint;

/**
 * A load query that has not been answered.
 *
 * @param placement the number of the pending placement that it was sent for
 * @param endpoint the backend server that it asks about
 * @param kind the kind of request that it asks for
 * @param sentNanos when it was sent
 */
record SentQuery(long placement, Endpoint endpoint, LoadQueryKind kind, long sentNanos) {}
