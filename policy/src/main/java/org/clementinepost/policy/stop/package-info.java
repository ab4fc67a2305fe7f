/** When a node that was told to stop may go. */
package org.clementinepost.policy.stop;
