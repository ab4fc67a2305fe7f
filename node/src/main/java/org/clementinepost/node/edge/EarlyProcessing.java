package org.clementinepost.node.edge;

import io.netty.handler.codec.http.HttpRequest;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.clementinepost.api.Failure;
import org.clementinepost.api.RequestHead;
import org.clementinepost.node.exchange.BackendResponse;
import org.clementinepost.node.exchange.BufferBudget;
import org.clementinepost.policy.access.IncomingRequest;
import reactor.core.publisher.Mono;

/**
 * How the requests of a connection are processed ahead of their turn.
 *
 * @param maxConcurrent the maximum number of requests of one connection processed concurrently
 * @param reader reads a request; none if it must not be started early
 * @param authorizer authorizes a request
 * @param processor processes an authorized request
 * @param stopping whether the node is stopping and starts nothing more early
 * @param budget the budget that the responses held count against
 * @param counter increments the metric of the given name
 * @param nanoClock the current time in nanoseconds
 */
record EarlyProcessing(
    int maxConcurrent,
    Function<HttpRequest, Option<IncomingRequest>> reader,
    Function<IncomingRequest, Mono<Either<Failure, RequestHead>>> authorizer,
    Function<RequestHead, Mono<Either<Failure, BackendResponse>>> processor,
    BooleanSupplier stopping,
    BufferBudget budget,
    Consumer<String> counter,
    LongSupplier nanoClock) {}
