/** Decides how a node stops gracefully. */
package org.clementinepost.policy.stop;
