package org.clementinepost.kernel;

/**
 * How far a kernel service has come with its messages.
 *
 * @param task the name of the service
 * @param processedMessages the number of messages that it has processed since its start
 * @param messagesWaiting whether messages are queued that it hasn't begun to process
 */
public record TaskProgress(String task, long processedMessages, boolean messagesWaiting) {}
