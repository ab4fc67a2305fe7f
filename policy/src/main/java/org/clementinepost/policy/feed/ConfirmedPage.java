package org.clementinepost.policy.feed;

import io.vavr.control.Option;
import org.clementinepost.api.peer.FeedPage;

/**
 * A page with what dates it by this node's own clock.
 *
 * @param page the page
 * @param requestNanos when this node requested the page of that moment from the store; none if it
 *     came through another node
 */
public record ConfirmedPage(FeedPage page, Option<Long> requestNanos) {}
