/** The tokens of customers' rates and bursts. */
package org.clementinepost.node.quota;
