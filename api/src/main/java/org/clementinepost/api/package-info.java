/** Types and result codes shared by all modules. */
package org.clementinepost.api;
