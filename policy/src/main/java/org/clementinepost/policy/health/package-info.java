/** Decides which tasks of a node have stopped processing messages. */
package org.clementinepost.policy.health;
