package org.clementinepost.policy.routing;

import io.vavr.Tuple2;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.clementinepost.api.Endpoint;
import org.clementinepost.api.FailureDomainId;

/**
 * The endpoints in use of one service, split by failure domain. They are kept between placements,
 * so that a placement does not have to filter all endpoints.
 *
 * @param inUse all endpoints in use
 * @param own those in the failure domain of this node
 * @param others those in other failure domains
 */
record DomainEndpoints(Vector<Endpoint> inUse, Vector<Endpoint> own, Vector<Endpoint> others) {
  static final DomainEndpoints NONE =
      new DomainEndpoints(Vector.empty(), Vector.empty(), Vector.empty());

  static DomainEndpoints of(Vector<Endpoint> inUse, Option<FailureDomainId> ownDomain) {
    Tuple2<Vector<Endpoint>, Vector<Endpoint>> parts =
        inUse.partition(endpoint -> ownDomain.contains(endpoint.domain()));
    return new DomainEndpoints(inUse, parts._1, parts._2);
  }
}
