# Plot attainment against moves per hour for several move weights, as
# docs/figures/moves.svg.
set datafile separator ','
set terminal svg size 720,440 dynamic background rgb 'white'
set output 'docs/figures/moves.svg'
set xlabel 'moves an hour (loads and unloads of models and adapters)'
set ylabel 'calls that find a slot, %'
set logscale x
set xrange [1:2000]
set yrange [88:100]
set key bottom right
set grid
f = 'docs/figures/moves.csv'
sel(name, col) = (strcol(1) eq name ? column(col) : NaN)
plot f using (sel('granite-ridge', 4) + 1):(sel('granite-ridge', 3)) \
	    with linespoints pt 7 title 'granite-ridge', \
	f using (sel('granite-ridge', 4) + 1):(sel('granite-ridge', 3)):(sprintf('%d', column(2))) \
	    with labels offset 1,-0.8 font ',9' notitle, \
	f using (sel('tostadero', 4) + 1):(sel('tostadero', 3)) \
	    with linespoints pt 5 title 'tostadero', \
	f using (sel('tostadero', 4) + 1):(sel('tostadero', 3)):(sprintf('%d', column(2))) \
	    with labels offset 1,-0.8 font ',9' notitle
