package org.clementinepost.policy.routing;

import io.vavr.control.Option;
import org.clementinepost.api.AdmissionMode;
import org.clementinepost.api.Endpoint;

/**
 * The backend server chosen by the replies to load queries.
 *
 * @param endpoint the chosen endpoint
 * @param admissionMode how its host should admit the request; none keeps the request's own mode, so
 *     that a failing server refuses it and other servers are asked
 * @param offer what its host offers
 * @param leavesDomain whether the server is in another failure domain
 * @param waitMicros the predicted wait
 * @param savedMicros the time saved by leaving the own failure domain
 */
record ServerChoice(
    Endpoint endpoint,
    Option<AdmissionMode> admissionMode,
    ServerOffer offer,
    boolean leavesDomain,
    long waitMicros,
    long savedMicros) {}
