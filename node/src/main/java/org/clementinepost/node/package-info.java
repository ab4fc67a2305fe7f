/** The node: composes the kernel services, and holds the main class. */
package org.clementinepost.node;
