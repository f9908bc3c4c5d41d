// Bundles the program that runs beside each backend server into one file with all libraries, which loads faster.
import { build } from 'esbuild'
import { workspacePackages } from './bundle.mjs'

await build({
  entryPoints: [{ in: 'platform/main.ts', out: 'lavenderturn-platform' }],
  outdir: 'target',
  outExtension: { '.js': '.mjs' },
  bundle: true,
  minify: true,
  keepNames: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  // CommonJS libraries call require() for built-in modules of Node.js, which ES modules lack.
  banner: { js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);" },
  plugins: [workspacePackages],
  logLevel: 'warning',
  metafile: process.argv.includes('--sizes')
}).then(({ metafile }) => {
  if (metafile === undefined) return
  const [output] = Object.values(metafile.outputs)
  const inputs = Object.entries(output.inputs).sort(([, left], [, right]) => right.bytesInOutput - left.bytesInOutput)
  for (const [name, { bytesInOutput }] of inputs.slice(0, 25)) process.stdout.write(`${bytesInOutput} ${name}\n`)
})
