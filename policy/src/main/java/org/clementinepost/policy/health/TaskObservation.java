package org.clementinepost.policy.health;

/**
 * What was seen of a task at one check.
 *
 * @param processedMessages the number of messages that it has processed since its start
 * @param messagesWaiting whether it has messages that it hasn't begun to process
 */
public record TaskObservation(long processedMessages, boolean messagesWaiting) {}
