/** Watches whether the tasks of a node process their messages. */
package org.clementinepost.node.health;
