/**
 * Decides from where a node follows a table of the store: from the store itself, or through another
 * node of its failure domain.
 */
package org.clementinepost.policy.feed;
