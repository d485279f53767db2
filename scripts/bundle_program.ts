/**
 * Bundles the processes that run on the platform, each into one file, because loading many files is what their start costs most.
 */
import { build } from 'esbuild'
import type { BuildOptions, Plugin } from 'esbuild'

/** Packages that stay files of their own: they hand `require` on to a function, where no bundler can follow. */
const apart = ['ts-results']

/** Packages that libraries load where they are installed and never use here, by what they are replaced with. */
const unused: { readonly [name: string]: string } = {
  // Libraries try these and do without them when loading fails.
  mv: 'throw new Error("left out of the bundle")',
  moment: 'throw new Error("left out of the bundle")',
  'source-map-support': 'throw new Error("left out of the bundle")',
  'dtrace-provider': 'throw new Error("left out of the bundle")',
  'unix-dgram': 'throw new Error("left out of the bundle")',
  'cbor-extract': 'throw new Error("left out of the bundle")',
  // Only exemplars of default metrics call it, and none are collected.
  '@opentelemetry/api': 'module.exports = {}'
}

const leaveOut: Plugin = {
  name: 'leave-out',
  setup (plugin) {
    const names = new RegExp(`^(${Object.keys(unused).join('|')})$`)
    plugin.onResolve({ filter: names }, ({ path }) => ({ path, namespace: 'unused' }))
    plugin.onLoad({ filter: /.*/, namespace: 'unused' }, ({ path }) => ({ contents: unused[path] ?? '' }))
  }
}

const options: BuildOptions = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  // Less text is compiled at each start; names stay, for the stacks of errors.
  minifyWhitespace: true,
  minifySyntax: true,
  // Libraries in the older module format look for `require`, which modules of the newer one do not have.
  banner: { js: "import { createRequire as createBundleRequire } from 'node:module'; const require = createBundleRequire(import.meta.url);" },
  external: apart,
  plugins: [leaveOut],
  logLevel: 'warning',
  metafile: true
}

/**
 * Bundles one program.
 *
 * @param from the file that starts it
 * @param to the bundle
 * @returns the modules that the bundle still loads when it runs
 * @throws when a module cannot be found or read
 *
 * @example
 * ```ts
 * const loaded = await bundle('cli/platform_main.ts', 'target/briarloom.js')
 * console.assert(loaded.every((name) => isBuiltin(name)))
 * ```
 */
export async function bundleProgram (from: string, to: string): Promise<string[]> {
  const { metafile } = await build({ ...options, entryPoints: [from], outfile: to })
  const outputs = Object.values(metafile?.outputs ?? {})
  return [...new Set(outputs.flatMap((output) => output.imports.filter(({ external }) => external).map(({ path }) => path)))]
}
