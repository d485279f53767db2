/**
 * Bundles the processes that run on the platform, each into one file, because loading many files takes the largest part of
 * their start-up time.
 */
import { build } from 'esbuild'
import type { BuildOptions, Plugin } from 'esbuild'

/** Packages that are left out of the bundle and loaded at run time: they pass `require` to a function, which a bundler cannot follow. */
const externalPackages = ['ts-results']

/** Packages that libraries load when they are installed, but that are never used here; each with the module text that replaces it. */
const unusedPackages: { readonly [name: string]: string } = {
  // Libraries try to load these and work without them when that fails.
  mv: 'throw new Error("left out of the bundle")',
  moment: 'throw new Error("left out of the bundle")',
  'source-map-support': 'throw new Error("left out of the bundle")',
  'dtrace-provider': 'throw new Error("left out of the bundle")',
  'unix-dgram': 'throw new Error("left out of the bundle")',
  'cbor-extract': 'throw new Error("left out of the bundle")',
  // Called only for exemplars of default metrics, and none are collected.
  '@opentelemetry/api': 'module.exports = {}'
}

const replaceUnusedPackages: Plugin = {
  name: 'leave-out',
  setup (plugin) {
    const names = new RegExp(`^(${Object.keys(unusedPackages).join('|')})$`)
    plugin.onResolve({ filter: names }, ({ path }) => ({ path, namespace: 'unused' }))
    plugin.onLoad({ filter: /.*/, namespace: 'unused' }, ({ path }) => ({ contents: unusedPackages[path] ?? '' }))
  }
}

/**
 * Assertions for libraries. For the message of a failed one, Node reads and parses the source around it, which is the whole bundle here:
 * the process stands still for seconds, with all its clients.
 */
const assertions = `
function assert (value, message) {
  if (value) return
  throw message instanceof Error ? message : Object.assign(new Error(message ?? 'an assertion of a library failed'), { code: 'ERR_ASSERTION' })
}
const equal = (a, b, message) => assert(a === b, message)
module.exports = Object.assign(assert, { ok: assert, equal, strictEqual: equal })`

const replaceAssertions: Plugin = {
  name: 'assertions',
  setup (plugin) {
    plugin.onResolve({ filter: /^(node:)?assert$/ }, ({ path }) => ({ path, namespace: 'assertions' }))
    plugin.onLoad({ filter: /.*/, namespace: 'assertions' }, () => ({ contents: assertions }))
  }
}

const options: BuildOptions = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  // Shorter text compiles faster at each start; names are kept for the stack traces of errors.
  minifyWhitespace: true,
  minifySyntax: true,
  // CommonJS libraries call `require`, which is not defined in ES modules.
  banner: { js: "import { createRequire as createBundleRequire } from 'node:module'; const require = createBundleRequire(import.meta.url);" },
  external: externalPackages,
  plugins: [replaceUnusedPackages, replaceAssertions],
  logLevel: 'warning',
  metafile: true
}

/**
 * Bundles one program into one file.
 *
 * @param from the entry file of the program
 * @param to the file that is written
 * @returns the names of the modules that the bundle loads at run time
 * @throws when a module cannot be found or read
 *
 * @example
 * ```ts
 * const loaded = await bundleProgram('cli/platform_main.ts', 'target/briarloom.js')
 * console.assert(loaded.every((name) => isBuiltin(name)))
 * ```
 */
export async function bundleProgram (from: string, to: string): Promise<string[]> {
  const { metafile } = await build({ ...options, entryPoints: [from], outfile: to })
  const outputs = Object.values(metafile?.outputs ?? {})
  return [...new Set(outputs.flatMap((output) => output.imports.filter(({ external }) => external).map(({ path }) => path)))]
}
